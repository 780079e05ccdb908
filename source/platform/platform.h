/**
 * platform: clients of the platform's services, and the tasks that keep what they tell.
 */
#pragma once

#include "platform/configkeeper.h"
#include "platform/listclient.h"
#include "platform/logclient.h"
#include "platform/logtail.h"
#include "platform/snapshotwriter.h"
#include "platform/storeclient.h"
