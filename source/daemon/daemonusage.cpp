#include "daemon/daemonusage.h"

namespace greengageseam {

const std::string daemonUsage = R"(greengageseamd: routes requests to model-serving instances.

Usage:
  greengageseamd --role=<role> [options]
  greengageseamd (-h | --help)
  greengageseamd --version

Each option can also be set by an environment variable, for example --log-level by
GREENGAGESEAM_LOG_LEVEL. A flag overrides its variable.

Options:
  --role=<role>               Role of the process: entry or agent.
  --instance=<name>           Name of this instance, unique in the deployment.
  --zone=<name>               Availability zone of this instance.
  --listen=<address>          HTTP address to listen on, such as 10.0.0.1:8080.
  --peer-listen=<address>     Address to listen on for other processes of the system.
  --secret=<text>             Secret shared by all processes, at least 16 characters.
  --log=<address>             Address of the platform's log service.
  --list=<address>            Address of the platform's list of instances; optional for an agent
                              with --entries.
  --bootstrap-token=<digest>  SHA-256 digest of a token that is accepted as an operator's while
                              the configuration table lists no operator (entry).
  --snapshot-records=<n>      Number of records after which a snapshot is appended to the log,
                              16 to 100000 (entry). Default: 256.
  --snapshot-age=<seconds>    Age of the last snapshot at which another is appended, 1 to 604800;
                              must be well below the log's retention (entry). Default: 3600.
  --request-limit=<seconds>   Request timeout, 1 to 3600 (entry). Default: 120.
  --longest-wait=<ms>         Longest time in milliseconds that a request is queued until a
                              backend server has capacity, 1 to 600000 (entry). Default: 500.
  --peers=<addresses>         Comma-separated peer addresses of other entries; optional if the
                              platform's list contains them (entry).
  --store=<address>           Address of the weight store (agent).
  --entries=<addresses>       Comma-separated peer addresses of the zone's entries; optional if
                              the platform's list contains them (agent).
  --backend=<address>         HTTP address of the backend server (agent).
  --service=<name>            Name of the plain service behind the agent; unset for an engine.
  --drain-notice=<seconds>    Time from the stop signal until the entry stops listening, 1 to 600
                              (entry). Default: 3.
  --link-rate=<bytes>         Limit of the machine's link bandwidth used for weights, in bytes per
                              second in each direction (agent). Default: unlimited.
  --zone-link-rate=<bytes>    Limit of the bandwidth used to read weights from other zones, in
                              bytes per second (agent). Default: unlimited.
  --weight-memory=<bytes>     Limit of the memory used to store weights, in bytes (agent).
                              Default: unlimited.
  --store-zone=<name>         Zone of the weight store (agent). If unset, no zone counts as nearer to
                              the store than the others.
  --far-peers=<peers>         Comma-separated agents in other zones to read weights from, each as
                              zone/instance@address (agent).
  --yield-above=<requests>    Number of requests in progress above which weights get half of the
                              link, 1 to 100000 (agent). Default: 32.
  --memory-limit=<bytes>      Memory that the process may use, from 1048576 on; what it holds for
                              callers is limited by it. Default: half of the machine's memory.
  --descriptor-limit=<n>      File descriptors that the process may open, from 64 on. Default: the
                              limit of the operating system.
  --drain-limit=<seconds>     Longest time that a shutdown waits, 1 to 86400. Default: 600.
  --log-level=<level>         Log level: error, warning, info or debug. Default: info.
  --check-settings            Validate the settings and exit.
  -h --help                   Show this text.
  --version                   Show the version.
)";

} // namespace greengageseam
