// Package stream carries protobuf messages in both directions of one TCP
// connection, each with its size before it.
//
// Dispatchers and runners exchange many small messages; docs/CAPACITY.md
// compares what one costs here and on a connect-go stream.
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
	// maxMessageBytes bounds one message: a policy is the largest.
	maxMessageBytes = 8 << 20
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 8 << 10
	// maxRetainedBufferBytes is the largest write buffer that is kept between messages.
	maxRetainedBufferBytes = 64 << 10
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 700 * time.Millisecond
)

// Conn is one connection. One goroutine may send while another receives;
// Close may be called by any, and ends both.
type Conn struct {
	conn       net.Conn
	reader     *bufio.Reader
	sendBuffer bytes.Buffer
}

// NewConn returns a Conn over an open connection, which it closes.
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

// Send writes a message in one piece. It blocks while the peer doesn't read.
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

// Receive reads the next message into m, which it resets. Its error is io.EOF
// when the peer has closed the connection between two messages.
func (c *Conn) Receive(m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(c.reader, m)
}

// Close ends the connection; a Send or Receive that waits returns an error.
func (c *Conn) Close() { _ = c.conn.Close() }
