#ifndef POLLENRING_STORAGE_FWD_H_
#define POLLENRING_STORAGE_FWD_H_

namespace pollenring {

class Table;
class ObjectStore;
class MemoryTable;
class MemoryObjectStore;
class HttpTable;
class HttpObjectStore;
struct Row;
struct RowCondition;
struct RowPut;

}  // namespace pollenring

#endif  // POLLENRING_STORAGE_FWD_H_
