// Package httpconn serves and calls HTTP/1.1 on connections that it owns.
//
// A gateway needs to know which bytes have left on which connection: a request
// that may have reached an endpoint must not be sent again, and a caller that
// leaves must be noticed while its answer is still being made. The clients and
// servers of the usual libraries hide both, so this package takes only the
// message parser of net/http and drives the connections itself. The parser of
// fasthttp skips the body of a GET, which would let a caller smuggle a request.
package httpconn
