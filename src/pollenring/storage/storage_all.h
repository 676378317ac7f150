#ifndef POLLENRING_STORAGE_STORAGE_ALL_H_
#define POLLENRING_STORAGE_STORAGE_ALL_H_

#include "pollenring/storage/http_storage.h"
#include "pollenring/storage/memory_storage.h"
#include "pollenring/storage/storage.h"

#endif  // POLLENRING_STORAGE_STORAGE_ALL_H_
