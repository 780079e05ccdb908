/**
 * Precompiled header shared by all layers that do I/O. Source files must not rely on it and include
 * what they use.
 */
#pragma once

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>
