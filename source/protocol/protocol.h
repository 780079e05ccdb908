/**
 * Umbrella header of protocol: the messages between processes and the records of the log, with
 * their encodings. Neither the decisions behind them nor the transport belong here.
 */
#pragma once

#include "protocol/claimcodec.h"
#include "protocol/configcodec.h"
#include "protocol/framecodec.h"
#include "protocol/jsontext.h"
#include "protocol/messages.h"
