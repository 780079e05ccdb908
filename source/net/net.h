/**
 * net: tasks that own sockets and timers, and the means by which tasks talk to each other.
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
