// Asio and Beast types for the one event loop of a process, and the text of a
// message. Only for the .cc files of this slice.

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

// With a type-erased executor, a tenth of the time of an entry process went
// into copies of executors.
using LoopExecutor = boost::asio::io_context::executor_type;
using LoopSocket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, LoopExecutor>;
using LoopAcceptor =
    boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, LoopExecutor>;
using LoopStream =
    boost::beast::basic_stream<boost::asio::ip::tcp, LoopExecutor>;

// A stream as Beast's synchronous write expects it, that appends to a text.
struct TextSink {
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

// The message as one piece of text. Writing Beast's sequence of one buffer for
// each header asynchronously walks the sequence several times.
template <bool kIsRequest, typename Body>
std::string WireText(
    const boost::beast::http::message<kIsRequest, Body>& message) {
  TextSink sink;
  sink.text.reserve(256 + message.body().size());
  boost::system::error_code error;
  boost::beast::http::write(sink, message, error);
  return std::move(sink.text);
}

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_ASIO_TYPES_H_
