#ifndef POLLENRING_NET_FWD_H_
#define POLLENRING_NET_FWD_H_

namespace pollenring {

enum class CallerDisconnect;
enum class ConnectionRole;
class ConnectionTable;
class Loop;
class HttpServer;
class HttpClient;
class Responder;
class UdpSocket;
struct Address;
struct HttpClientLimits;
struct HttpRequest;
struct HttpResponse;

}  // namespace pollenring

#endif  // POLLENRING_NET_FWD_H_
