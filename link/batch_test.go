package link

import (
	"bytes"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against batching that loses or reorders bytes, including those written
// immediately before Close.
func TestBatchConnPreservesData(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	received := make(chan []byte, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		data, _ := io.ReadAll(conn)
		received <- data
	}()
	conn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	b := newBatchConn(conn)
	var want []byte
	for i := range 3000 {
		p := bytes.Repeat([]byte{byte(i)}, i%300)
		want = append(want, p...)
		_, err := b.Write(p)
		require.NoError(t, err)
		clear(p) // The caller may reuse its buffer.
	}
	require.NoError(t, b.Close())
	require.Equal(t, want, <-received)
	_, err = b.Write([]byte("x"))
	require.Error(t, err)
}

// Guards against a Write or Close that blocks forever because the peer does not
// read.
func TestBatchConnCloseUnblocksWrite(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	b := newBatchConn(local)
	failed := make(chan error)
	go func() {
		for {
			if _, err := b.Write(make([]byte, maxBatchBytes)); err != nil {
				failed <- err
				return
			}
		}
	}()
	require.NoError(t, b.Close())
	require.Error(t, <-failed)
}
