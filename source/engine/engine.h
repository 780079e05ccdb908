/**
 * engine: the client with which an agent controls the backend server on its machine.
 */
#pragma once

#include "engine/engineclient.h"
