// Package aublog creates the structured logger of a process.
package aublog

import (
	"io"

	"github.com/samber/oops"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// FormatJSON and FormatConsole are the formats of log lines.
const (
	FormatJSON    = "json"
	FormatConsole = "console"
)

// Opts configures a logger.
type Opts struct {
	// Format is FormatJSON or FormatConsole.
	Format string
	// Level is the lowest level that is written: debug, info, warn or error.
	Level string
	// Instance is the name of the process; it is a field of every line.
	Instance string
}

// New returns a logger that writes lines to w.
func New(w io.Writer, opts Opts) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(opts.Level)
	if err != nil {
		return nil, oops.In("log").Wrapf(err, "parse log level")
	}
	core := zapcore.NewCore(newEncoder(opts.Format), zapcore.Lock(zapcore.AddSync(w)), level)
	return zap.New(core).With(zap.String("instance", opts.Instance)), nil
}

func newEncoder(format string) zapcore.Encoder {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.NameKey = "part"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	if format == FormatConsole {
		return zapcore.NewConsoleEncoder(cfg)
	}
	return zapcore.NewJSONEncoder(cfg)
}
