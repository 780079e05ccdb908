/**
 * platform: clients of the platform's services, and the tasks that keep what they tell.
 */
#pragma once

#include "logservice/configkeeper.h"
#include "logservice/listclient.h"
#include "logservice/logclient.h"
#include "logservice/logtail.h"
#include "logservice/snapshotwriter.h"
#include "logservice/storeclient.h"
