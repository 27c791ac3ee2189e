// Package h1 implements HTTP/1.1 connections with callers and backend servers.
//
// net/http provides the message syntax, but not the connections, for two reasons.
// Its server stops monitoring a connection once a pipelined byte is buffered, so
// a caller that closes the connection would not be detected. Its client takes
// the next response on a connection as the response to the request, although a
// faulty backend server may send a surplus or late response.
package h1
