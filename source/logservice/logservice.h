/**
 * Clients of the platform's services (log, instance list, weight store), and the tasks that
 * maintain the configuration from the log.
 */
#pragma once

#include "logservice/configmanager.h"
#include "logservice/listclient.h"
#include "logservice/logclient.h"
#include "logservice/logfollower.h"
#include "logservice/snapshotwriter.h"
#include "logservice/storeclient.h"
