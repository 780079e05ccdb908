/**
 * Umbrella header of net: sockets, HTTP, links between processes, timers, logs and metrics.
 */
#pragma once

#include "net/clock.h"
#include "net/endpoint.h"
#include "net/http.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/log.h"
#include "net/mailbox.h"
#include "net/metrics.h"
#include "net/peerlink.h"
#include "net/ticker.h"
