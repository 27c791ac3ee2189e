package h1

import (
	"syscall"
)

// isUsable reports whether an idle connection is open and has no unread bytes. A
// connection that is not a socket is assumed to be open.
func (c *clientConn) isUsable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errno == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
