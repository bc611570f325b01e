package network

import (
	"net"
	"net/url"
	"strconv"
)

// portBits is the size of a TCP port.
const portBits = 16

// ValidAddress reports whether an address has a host and a port and can be dialled, and
// can be part of a URL.
func ValidAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	if n, err := strconv.ParseUint(port, 10, portBits); err != nil || n == 0 {
		return false
	}
	u, err := url.Parse("http://" + address)
	return err == nil && u.Host == address
}
