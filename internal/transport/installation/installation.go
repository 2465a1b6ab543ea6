// Package installation runs entries and agents on a users' platform. It sets up listeners,
// logs, metrics, reloading of settings and the graceful stop.
package installation

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/intake"
	"github.com/filbertlever/filbertlever/internal/release"
	"github.com/filbertlever/filbertlever/internal/settings"
	"github.com/filbertlever/filbertlever/internal/transport/inbound"
	"github.com/filbertlever/filbertlever/internal/transport/logsink"
)

// Limits of a process and its listeners.
const (
	maxHeaderBytes = 64 << 10
	// shutdownTimeout is the time at the end of a stop to finish responses and close idle
	// connections.
	shutdownTimeout = 500 * time.Millisecond
)

// process holds what entries and agents have in common.
type process struct {
	log       *zap.Logger
	level     zap.AtomicLevel
	registry  *prometheus.Registry
	inbound   *inbound.Limiter
	servers   []*http.Server
	serveErrs chan error
	cleanups  []func()
}

// start sets up a process whose log is written to out.
func start(s *settings.Installation, role filbertlever.Role, out io.Writer) (*process, error) {
	runtime.GOMAXPROCS(s.Machine.Cores)
	host := inbound.HostOf(int64(s.Machine.Memory), s.Machine.Descriptors)
	debug.SetMemoryLimit(intake.SoftLimit(host.Memory))
	level, err := zapcore.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	sink, flush := logsink.New(out)
	p := &process{level: zap.NewAtomicLevelAt(level), registry: prometheus.NewRegistry(), serveErrs: make(chan error, 8)}
	p.cleanups = append(p.cleanups, flush)
	p.log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig()), sink, p.level)).
		With(zap.String("Host", string(s.Host)), zap.String("Role", string(role)))
	p.registry.MustRegister(release.Current().Collector(), collectors.NewGoCollector(), prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "filbertlever_log_dropped_total",
		Help: "Log lines dropped because the output could not take them.",
	}, func() float64 { return float64(sink.Dropped()) }))
	p.inbound = inbound.New(intake.LimitsOf(host), p.log, p.registry)
	if s.Listen.Metrics != "" {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{}))
		if err := p.listen(s.Listen.Metrics, intake.ListenerPublic, mux); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// logStarted logs that the process serves, and which build of the program it is.
func (p *process) logStarted(fields ...zap.Field) {
	p.log.Info("started", append(fields, release.Current().Fields()...)...)
}

func encoderConfig() zapcore.EncoderConfig {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	config.TimeKey, config.LevelKey, config.MessageKey = "Time", "Level", "Message"
	return config
}

// close closes the servers and runs the cleanup functions in reverse order.
func (p *process) close() {
	for _, server := range p.servers {
		_ = server.Close()
	}
	for i := len(p.cleanups) - 1; i >= 0; i-- {
		p.cleanups[i]()
	}
}

// listen serves requests without bodies on an address, with the default connection limits.
func (p *process) listen(address string, kind intake.Listener, handler http.Handler) error {
	return p.listenWithLimits(address, kind, p.inbound.WithoutBodies(handler), func() catalog.Limits { return catalog.Limits{} })
}

// listenWithLimits serves on an address with connection limits that may change.
func (p *process) listenWithLimits(address string, kind intake.Listener, handler http.Handler, limits func() catalog.Limits) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	connLimits := newConnLimits(limits)
	server := &http.Server{
		Handler: connLimits.guard(handler), DisableGeneralOptionsHandler: true, ReadHeaderTimeout: maxHeaderTimeout, IdleTimeout: maxIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: func(c net.Conn, state http.ConnState) {
			connLimits.onStateChange(c, state)
			p.inbound.OnStateChange(c, state)
		},
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return p.inbound.ConnContext(connLimits.connContext(ctx, c), c)
		},
		ErrorLog: zap.NewStdLog(p.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	p.servers = append(p.servers, server)
	go (&serveTask{server: server, listener: p.inbound.Listen(listener, kind), errs: p.serveErrs}).run()
	return nil
}

// serveTask serves one listener.
type serveTask struct {
	server   *http.Server
	listener net.Listener
	errs     chan error
}

func (s *serveTask) run() {
	if err := s.server.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.errs <- fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
	}
}

// shutdown waits until responses in flight are written, for at most shutdownTimeout and not beyond
// deadline.
func (p *process) shutdown(deadline time.Time) {
	deadlineCtx, cancelDeadline := context.WithDeadline(context.Background(), deadline)
	defer cancelDeadline()
	ctx, cancel := context.WithTimeout(deadlineCtx, shutdownTimeout)
	defer cancel()
	for _, server := range p.servers {
		_ = server.Shutdown(ctx)
	}
}

// reloadInterval is the interval between checks of the settings file for changes without a
// signal.
const reloadInterval = time.Second

// settingsReloader reloads a settings file when it changes.
type settingsReloader struct {
	path    string
	use     settings.Use
	process *process
	// reload is signalled when the file should be reloaded.
	reload <-chan os.Signal
	apply  func(*settings.Installation)
}

// run reloads the file when it changes or on a signal. If the file is invalid, the error is
// logged and the current settings stay active.
func (r *settingsReloader) run(ctx context.Context) {
	last := r.readStamp()
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-r.reload:
			signalled = true
		case <-ticker.C:
		}
		stamp := r.readStamp()
		if stamp == last && !signalled {
			continue
		}
		last = stamp
		s, err := settings.LoadInstallation(r.path, r.use)
		if err != nil {
			r.process.log.Error("settings not reloaded", zap.Error(err))
			continue
		}
		if level, err := zapcore.ParseLevel(s.Log.Level); err == nil {
			r.process.level.SetLevel(level)
		}
		r.apply(s)
		r.process.log.Info("settings reloaded", zap.Bool("Signalled", signalled))
	}
}

// fileStamp identifies a state of a file, to detect changes.
type fileStamp struct {
	size     int64
	modified time.Time
}

func (r *settingsReloader) readStamp() fileStamp {
	info, err := os.Stat(r.path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{size: info.Size(), modified: info.ModTime()}
}
