package network

import (
	"net"
	"syscall"
)

// PeerClosed reports whether the peer has closed or reset a connection, as far as the
// operating system knows. It consumes nothing and may be called while another goroutine
// reads. It reports false for a connection without a file descriptor, and while unread
// bytes precede the end.
func PeerClosed(c net.Conn) bool {
	if wrapper, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapper.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) { closed = peekClosed(int(fd)) })
	return closed || err != nil
}

// peekClosed looks at the next byte that the socket has received.
func peekClosed(fd int) bool {
	var next [1]byte
	n, _, err := syscall.Recvfrom(fd, next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil:
		return n == 0
	case syscall.EAGAIN, syscall.EINTR:
		return false
	}
	return true
}
