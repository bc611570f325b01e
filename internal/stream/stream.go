// Package stream exchanges protobuf messages over a TCP connection, in both
// directions, each prefixed with its size.
//
// Dispatchers and runners exchange many small messages; docs/CAPACITY.md
// compares the cost per message with that of a connect-go stream.
package stream

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/pomelosill/pomelosill/internal/network"
)

const (
	// maxMessageBytes limits the size of one message. The largest message is a
	// policy.
	maxMessageBytes = 8 << 20
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 8 << 10
	// maxRetainedBufferBytes is the largest write buffer that is kept for the
	// next message.
	maxRetainedBufferBytes = 64 << 10
	// dialTimeout limits the time to open a connection.
	dialTimeout = 700 * time.Millisecond
)

// Conn is a connection. One goroutine may send while another receives. Close
// may be called from any goroutine, and makes both calls return.
type Conn struct {
	conn       net.Conn
	reader     *bufio.Reader
	sendBuffer bytes.Buffer
}

// NewConn returns a Conn that takes ownership of an open connection.
func NewConn(c net.Conn) *Conn {
	return &Conn{conn: c, reader: bufio.NewReaderSize(c, readBufferBytes)}
}

// Dial opens a connection to a Server.
func Dial(ctx context.Context, n network.Network, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := n.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// Send writes a message with one Write call. It blocks while the peer does not
// read.
func (c *Conn) Send(m proto.Message) error {
	c.sendBuffer.Reset()
	if _, err := protodelim.MarshalTo(&c.sendBuffer, m); err != nil {
		return err
	}
	_, err := c.conn.Write(c.sendBuffer.Bytes())
	if c.sendBuffer.Cap() > maxRetainedBufferBytes {
		c.sendBuffer = bytes.Buffer{}
	}
	return err
}

// Receive reads the next message into m, after resetting m. It returns io.EOF
// if the peer closed the connection between two messages.
func (c *Conn) Receive(m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(c.reader, m)
}

// Close closes the connection; a blocked Send or Receive returns an error.
func (c *Conn) Close() { _ = c.conn.Close() }
