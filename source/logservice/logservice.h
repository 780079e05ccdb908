/**
 * platform: clients of the platform's services, and the tasks that keep what they tell.
 */
#pragma once

#include "logservice/configmanager.h"
#include "logservice/listclient.h"
#include "logservice/logclient.h"
#include "logservice/logfollower.h"
#include "logservice/snapshotwriter.h"
#include "logservice/storeclient.h"
