#include "edgeprocess.h"

#include "testcaller.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace greengageseam {

EdgeProcess::EdgeProcess(boost::asio::io_context &context, const Address &store,
                         const std::string &settings)
    : m_frontAddress(freeAddress(context)), m_readyAddress(freeAddress(context))
{
    const Address control = freeAddress(context);
    const std::uint16_t onePort = portOf(freeAddress(context));
    const std::uint16_t otherPort = portOf(freeAddress(context));
    m_metricsAddress = Address("127.0.0.1:" + std::to_string(std::max(onePort, otherPort)));
    m_peerAddress = Address("127.0.0.1:" + std::to_string(std::min(onePort, otherPort)));
    const std::string name =
            "edge-" + std::to_string(::getpid()) + "-" + std::to_string(portOf(m_frontAddress));
    m_path = (std::filesystem::temp_directory_path() / name).string();
    std::ofstream(m_path + ".conf")
            << "nodeName=entry-1\nrole=entry\nip=127.0.0.1\nzone=a\nregion=r\nzones.a=r\n"
            << "internalPortRange=" << std::min(onePort, otherPort) << ","
            << std::max(onePort, otherPort) << "\nlistenAddrs.front=" << m_frontAddress.text()
            << "\nlistenAddrs.ready=" << m_readyAddress.text()
            << "\nlistenAddrs.control=" << control.text() << "\nplatform.address=" << store.text()
            << "\nbounds.graceS=8\n"
            << settings;
    const std::vector<std::string> command {programPath("greengageseam-fleetd"), "entry"};
    const std::vector<std::string> environment {"GREENGAGESEAM_CONFIG=" + m_path + ".conf",
                                                "GREENGAGESEAM_SECRET=a secret for tests only"};
    m_process = std::make_unique<Process>(command, environment, m_path + ".log");
}

EdgeProcess::~EdgeProcess()
{
    m_process.reset();
    std::error_code ignored;
    std::filesystem::remove(m_path + ".conf", ignored);
    std::filesystem::remove(m_path + ".log", ignored);
}

std::string EdgeProcess::logLines(const std::string &text) const
{
    std::ifstream file(m_path + ".log");
    std::string lines;
    for (std::string line; std::getline(file, line);) {
        if (line.find(text) != std::string::npos) {
            lines += line + "\n";
        }
    }
    return lines;
}

} // namespace greengageseam
