// Package process contains what all pomelosill processes have in common: the
// log, the metrics, the listeners and the debug pages.
package process

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	promexporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/result"
)

// Limits of every listener and connection.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	// dialTimeout limits the time to open a connection.
	dialTimeout = time.Second
	// pingTimeout is how long an HTTP/2 connection may be silent before a ping is
	// sent, and closes it if the ping is not answered, and thereby ends every send
	// that the peer does not read.
	pingTimeout = 2 * time.Second
)

// NewLogger returns a logger that writes JSON to standard error. level is
// debug, info, warn or error.
func NewLogger(level string) (*zap.Logger, error) {
	lv, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, result.Wrap(result.SettingsValue, err, "log_level")
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(lv)
	cfg.DisableStacktrace = true
	cfg.DisableCaller = true
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return cfg.Build()
}

// WithLogPrefix returns a logger that begins every message with "component: ".
func WithLogPrefix(log *zap.Logger, component string) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return &prefixCore{Core: c, prefix: component + ": "}
	}))
}

// prefixCore adds a prefix to the messages that it passes on.
type prefixCore struct {
	zapcore.Core
	prefix string
}

func (c *prefixCore) With(f []zapcore.Field) zapcore.Core {
	return &prefixCore{Core: c.Core.With(f), prefix: c.prefix}
}

func (c *prefixCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

func (c *prefixCore) Write(e zapcore.Entry, f []zapcore.Field) error {
	e.Message = c.prefix + e.Message
	return c.Core.Write(e, f)
}

// Debug serves /metrics, /healthz, /debug/state and /debug/pprof.
type Debug struct {
	// Meter creates the instruments of the process.
	Meter    metric.Meter
	registry *prometheus.Registry
}

// NewDebug returns the debug pages and a meter for a program.
func NewDebug(program string) (*Debug, error) {
	reg := prometheus.NewRegistry()
	reg.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	exp, err := promexporter.New(promexporter.WithRegisterer(reg), promexporter.WithoutScopeInfo())
	if err != nil {
		return nil, err
	}
	name := resource.NewSchemaless(
		attribute.String("service.name", program),
		attribute.String("service.version", Version()),
	)
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exp), sdkmetric.WithResource(name))
	return &Debug{Meter: provider.Meter(program), registry: reg}, nil
}

// Mount registers the debug pages on mux. state is called on each request of
// /debug/state, and its result is encoded as JSON.
func (d *Debug) Mount(mux *http.ServeMux, state func() any) {
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, state())
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}

// WriteJSON sends a response with the status and with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Listen listens on an address of a network. Its error has the code
// AddressInUse.
func Listen(ctx context.Context, n network.Network, addr string) (net.Listener, error) {
	l, err := n.Listen(ctx, addr)
	if err != nil {
		return nil, result.Wrap(result.AddressInUse, err, addr)
	}
	return l, nil
}

// NewServer returns a server for HTTP/1 and unencrypted HTTP/2.
func NewServer(h http.Handler) *http.Server { return newServer(h, pingTimeout) }

// newServer is NewServer with the timeout after which a silent HTTP/2 connection is sent a
// ping, and after which it is closed if the ping is not answered.
func newServer(h http.Handler, ping time.Duration) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         &p,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: ping, PingTimeout: ping},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// WithoutCompression returns the option of a connect handler that disables
// compression. Between hosts of one platform, compression costs more processor
// time than the saved bytes are worth.
func WithoutCompression() connect.HandlerOption {
	return connect.WithCompression("gzip", nil, nil)
}

// NewStreamClient returns a client for connect streams over unencrypted HTTP/2.
// It closes connections to hosts that no longer answer pings.
func NewStreamClient(n network.Network) *http.Client {
	return &http.Client{Transport: NewTransport(network.DialContextFunc(n, dialTimeout), pingTimeout)}
}

// NewTransport returns a transport over unencrypted HTTP/2. It sends a ping on a
// connection that was silent for the timeout, and closes the connection if the ping is not
// answered within the timeout.
func NewTransport(dial func(ctx context.Context, network, address string) (net.Conn, error), timeout time.Duration) *http.Transport {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:   &p,
		DialContext: dial,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: timeout, PingTimeout: timeout},
	}
}
