// Package h1 speaks HTTP/1.1 with callers and backend servers.
//
// net/http is not used for the connections themselves for two reasons. Its
// server stops watching a connection once a pipelined byte is buffered, so a
// caller that left would not be noticed. Its client takes the next response on a
// connection for that of the request, although a faulty backend server may send
// a surplus or late one. The message syntax is that of net/http.
package h1
