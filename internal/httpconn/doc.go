// Package httpconn implements an HTTP/1.1 client and server with direct control
// over their connections.
//
// A gateway must know which bytes were sent on which connection: it must not
// retry a request that may have reached an endpoint, and it must detect that a
// caller has disconnected while the answer is still being produced. The clients
// and servers of common libraries hide both. This package therefore uses only the
// message parser of net/http and manages the connections itself. It does not use
// the parser of fasthttp, which does not read the body of a GET request. The body would
// then be parsed as the next request, which allows request smuggling.
package httpconn
