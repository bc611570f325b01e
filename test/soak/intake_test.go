package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/test/caller"
)

// Clients that don't behave send requests of legal size whose form makes them costly. The limits of
// a dispatcher are lowered, so that few of them reach these.
const (
	// limitedMemoryMB is the memory of the dispatcher's host. All of it must suffice.
	limitedMemoryMB = 128
	// clientCount is how many connections they open.
	clientCount = 900
	// maxDescriptors is the bound of the dispatcher's open descriptors.
	maxDescriptors = 1100
	// bodyBytes is the limit of a body's size where the configuration sets none, and
	// headerBytes that of a header.
	bodyBytes   = 256 << 10
	headerBytes = 16 << 10
	// sendTimeout bounds how long one client sends.
	sendTimeout = 20 * time.Second
	// ordinaryTimeout bounds the time until an ordinary request is answered.
	ordinaryTimeout = 60 * time.Second
)

// clientKind is a kind of clients that don't behave. Most of them stop just short of the end of
// their request and stay open.
type clientKind struct {
	name string
	// send sends the request of the client with the number on a connection.
	send func(w io.Writer, number int) error
}

var clientKinds = []clientKind{
	{"many header lines", sendHeaderLines},
	{"large bodies", func(w io.Writer, number int) error { return sendBody(w, number, bodyBytes) }},
	{"large bodies piece by piece", func(w io.Writer, number int) error { return sendBody(w, number, 4<<10) }},
	{"large chunks", func(w io.Writer, number int) error { return sendChunks(w, number, 32<<10) }},
	{"very small chunks", func(w io.Writer, number int) error { return sendChunks(w, number, 16) }},
	{"steps without number", sendSteps},
}

// newLimitedCluster starts a system and a dispatcher with little memory.
func newLimitedCluster(t *testing.T) (*cluster, *dispatcher) {
	c := newCluster(t, 1, nil)
	c.crashes = false
	must.True(t, c.allReady())
	d := c.startDispatcher(len(c.dispatchers), limitedMemoryMB)
	must.True(t, c.allReady())
	return c, d
}

// Issue 48: such clients ended a process, which ran out of memory.
func TestMisbehavingClientsDoNotEndADispatcher(t *testing.T) {
	for _, k := range clientKinds {
		t.Run(k.name, func(t *testing.T) {
			c, d := newLimitedCluster(t)
			callers := c.newCallers()
			mustServe(t, callers, d, 1)
			closeAll := k.connect(t, d.listen)
			t.Logf("%d MB at most, %d descriptors", d.process.PeakMemory(t)>>20, d.process.Descriptors(t))
			must.True(t, d.process.Running(), must.Sprint("the process has ended"))
			must.LessEq(t, limitedMemoryMB<<20, d.process.PeakMemory(t))
			must.LessEq(t, maxDescriptors, d.process.Descriptors(t))
			mustServe(t, callers, d, 2)
			closeAll()
			mustServe(t, callers, d, 3)
			must.LessEq(t, limitedMemoryMB<<20, d.process.PeakMemory(t))
			must.True(t, d.process.Running(), must.Sprint("the process has ended"))
		})
	}
}

// Each of these requests is legal and must be served while there are no others.
func TestSingleOddRequestIsServed(t *testing.T) {
	_, d := newLimitedCluster(t)
	for i, k := range clientKinds {
		if k.name == "steps without number" {
			continue
		}
		status, answer := func() (int, string) {
			conn, err := net.Dial("tcp", d.listen)
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			// The clients with these numbers send all of their request.
			_ = k.send(conn, i*completeEvery)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err, must.Sprint(k.name))
			defer func() { _ = resp.Body.Close() }()
			answer, err := io.ReadAll(resp.Body)
			must.NoError(t, err, must.Sprint(k.name))
			return resp.StatusCode, string(answer)
		}()
		must.Eq(t, http.StatusOK, status, must.Sprint(k.name, answer))
	}
}

// mustServe requires that an ordinary request is served, if need be after it was refused or its
// connection was closed.
func mustServe(t *testing.T, callers *caller.Callers, d *dispatcher, number uint64) {
	t.Helper()
	end := time.Now().Add(ordinaryTimeout)
	for try := uint64(0); ; try++ {
		status, body := callers.Post(d.listen, caller.FirstJobNumber+number<<16+try)
		if status == http.StatusOK {
			return
		}
		must.True(t, time.Now().Before(end), must.Sprintf("an ordinary request was not served: %d %s", status, body))
		must.True(t, d.process.Running(), must.Sprint("the process has ended"))
		time.Sleep(50 * time.Millisecond)
	}
}

// connect opens the clients' connections and sends on all of them at once. They stay open until
// the returned function is called.
func (k clientKind) connect(t *testing.T, address string) (closeAll func()) {
	var mu sync.Mutex
	var conns []net.Conn
	var senders sync.WaitGroup
	for i := range clientCount {
		senders.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(sendTimeout))
			// An error means that the dispatcher has closed the connection, which it may.
			_ = k.send(conn, i)
		})
	}
	senders.Wait()
	must.Len(t, clientCount, conns)
	return func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// completeEvery is the share of the clients that send all of their request.
const completeEvery = 10

// ends returns the request, or what a client sends of it that stops short of its end.
func ends(number int, request string) string {
	if number%completeEvery == 0 {
		return request
	}
	return request[:len(request)-1]
}

// paddedJob is a job that is padded to a size with white space.
func paddedJob(size int) string {
	const job = `{"spec":"x","best_effort":true,"steps":[{"count":1,"cpu":1000,"mem_mb":1,"estimated_ms":40}]}`
	return job + strings.Repeat(" ", size-len(job))
}

// requestLine begins the request of a client: a job whose tasks take 40 ms at the stand-ins.
func requestLine(number int) string {
	return fmt.Sprintf("POST /p/%016x HTTP/1.1\r\nHost: app.example\r\n", 0xc0de00000000+4*number)
}

// sendHeaderLines sends a request with as many header lines as its size allows.
func sendHeaderLines(w io.Writer, number int) error {
	job := paddedJob(100)
	var b strings.Builder
	fmt.Fprintf(&b, "%sContent-Length: %d\r\n", requestLine(number), len(job))
	for i := 0; b.Len() < headerBytes-10; i++ {
		if number%2 == 0 {
			fmt.Fprintf(&b, "%x:\r\n", i)
		} else {
			b.WriteString("A:\r\n")
		}
	}
	header := b.String() + "\r\n"
	if number%completeEvery != 0 {
		_, err := io.WriteString(w, header[:len(header)-1])
		return err
	}
	_, err := io.WriteString(w, header+job)
	return err
}

// sendBody sends a body of the largest legal size in pieces.
func sendBody(w io.Writer, number, piece int) error {
	if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", requestLine(number), bodyBytes); err != nil {
		return err
	}
	for body := ends(number, paddedJob(bodyBytes)); len(body) > 0; {
		n := min(piece, len(body))
		if _, err := io.WriteString(w, body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// sendChunks sends a body of the largest legal size in chunks.
func sendChunks(w io.Writer, number, size int) error {
	buffered := bufio.NewWriterSize(w, 32<<10)
	fmt.Fprintf(buffered, "%sTransfer-Encoding: chunked\r\n\r\n", requestLine(number))
	for body := paddedJob(bodyBytes); len(body) > 0; body = body[min(size, len(body)):] {
		n := min(size, len(body))
		fmt.Fprintf(buffered, "%x\r\n%s\r\n", n, body[:n])
	}
	_, _ = buffered.WriteString(ends(number, "0\r\n\r\n"))
	return buffered.Flush()
}

// sendSteps sends a job with as many steps as a body holds.
func sendSteps(w io.Writer, number int) error {
	body := `{"spec":"x","best_effort":true,"steps":[` + strings.Repeat("{},", bodyBytes/3-100)
	body += `{"count":1}]}`
	_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", requestLine(number), len(body), body)
	return err
}
