/**
 * engine: what an agent says to the backend server beside it.
 */
#pragma once

#include "engine/engineclient.h"
