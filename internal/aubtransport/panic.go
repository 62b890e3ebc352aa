package aubtransport

import (
	"context"
	"runtime/debug"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

// panicGuard turns a panic of a handler into an error of its call, so that one message that
// a handler can't take does not end the process.
type panicGuard struct{ common aubcommon.Common }

// unary is a grpc.UnaryServerInterceptor.
func (g panicGuard) unary(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (resp any, err error) {
	defer g.recover(info.FullMethod, &err)
	return handler(ctx, req)
}

// stream is a grpc.StreamServerInterceptor.
func (g panicGuard) stream(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	defer g.recover(info.FullMethod, &err)
	return handler(srv, stream)
}

// recover stops a panic and sets the error of the call.
func (g panicGuard) recover(method string, err *error) {
	cause := recover()
	if cause == nil {
		return
	}
	g.common.Metrics.Counter("panics").Inc(1)
	g.common.Log.Error("Handler panicked; its call fails.",
		zap.String("method", method), zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
	*err = status.Error(codes.Internal, "handler failed")
}
