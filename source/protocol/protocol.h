/**
 * protocol: what processes say to each other and to the log, apart from how it is decided and sent.
 */
#pragma once

#include "protocol/claimcodec.h"
#include "protocol/configcodec.h"
#include "protocol/framecodec.h"
#include "protocol/jsontext.h"
#include "protocol/messages.h"
