// Package process is what every pomelosill process shares: its log, its
// metrics, its listeners and its debug pages.
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

// Limits of every listener.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// sendPingTimeout is the silence on an HTTP/2 connection before a ping.
	sendPingTimeout = 2 * time.Second
	// pingTimeout ends a connection whose ping is not answered, and with it
	// every send that its peer doesn't read.
	pingTimeout = 2 * time.Second
)

// NewLogger returns a JSON log on standard error; level is debug, info, warn
// or error.
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

// WithLogPrefix returns a log whose messages all begin with "part: ".
func WithLogPrefix(log *zap.Logger, part string) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return &prefixCore{Core: c, prefix: part + ": "}
	}))
}

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
	// Meter makes the process's instruments.
	Meter    metric.Meter
	registry *prometheus.Registry
}

// NewDebug sets up metrics for a program.
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

// Mount adds the debug pages to mux; state is dumped as JSON on each request.
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

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Listen binds an address of a network; its error has the code AddressInUse.
func Listen(ctx context.Context, n network.Network, addr string) (net.Listener, error) {
	l, err := n.Listen(ctx, addr)
	if err != nil {
		return nil, result.Wrap(result.AddressInUse, err, addr)
	}
	return l, nil
}

// NewServer returns a server for HTTP/1 and unencrypted HTTP/2.
func NewServer(h http.Handler) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         &p,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: sendPingTimeout, PingTimeout: pingTimeout},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// WithoutCompression are the options of a connect handler that answers without
// compression: between hosts of one platform it costs more processor time than
// the bytes are worth.
func WithoutCompression() connect.HandlerOption {
	return connect.WithCompression("gzip", nil, nil)
}

// NewStreamClient returns a client for connect streams over unencrypted
// HTTP/2. It gives up connections to hosts that fall silent.
func NewStreamClient(n network.Network) *http.Client {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:   &p,
		DialContext: network.DialContextFunc(n, dialTimeout),
		HTTP2:       &http.HTTP2Config{SendPingTimeout: sendPingTimeout, PingTimeout: pingTimeout},
	}}
}
