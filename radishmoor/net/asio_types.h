// Asio and Beast types bound to the executor of EventLoop, and the
// serialization of HTTP messages. Only for the .cc files of radishmoor/net.

#ifndef RADISHMOOR_NET_ASIO_TYPES_H_
#define RADISHMOOR_NET_ASIO_TYPES_H_

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/write.hpp>
#include <string>

namespace radishmoor {

// Asio's default executor is type-erased; copying it took a tenth of the CPU
// time of an entry process.
using LoopExecutor = boost::asio::io_context::executor_type;
using LoopSocket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, LoopExecutor>;
using LoopAcceptor =
    boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, LoopExecutor>;
using LoopStream =
    boost::beast::basic_stream<boost::asio::ip::tcp, LoopExecutor>;

// A SyncWriteStream for Beast that appends what is written to `text`.
struct StringWriteStream {
  std::string text;

  template <typename Buffers>
  size_t write_some(const Buffers& buffers) {
    size_t before = text.size();
    for (boost::asio::const_buffer part :
         boost::beast::buffers_range_ref(buffers))
      text.append(static_cast<const char*>(part.data()), part.size());
    return text.size() - before;
  }
  template <typename Buffers>
  size_t write_some(const Buffers& buffers, boost::system::error_code& error) {
    error = {};
    return write_some(buffers);
  }
};

// Returns the message as it is sent, in one string. Beast's own serialization
// is a sequence with one buffer for each header, which an asynchronous write
// walks several times.
template <bool kIsRequest, typename Body>
std::string SerializeMessage(
    const boost::beast::http::message<kIsRequest, Body>& message) {
  StringWriteStream stream;
  stream.text.reserve(256 + message.body().size());
  boost::system::error_code error;
  boost::beast::http::write(stream, message, error);
  return std::move(stream.text);
}

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_ASIO_TYPES_H_
