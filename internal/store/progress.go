package store

import (
	"context"
	"io"
)

type progressKey struct{}

// WithProgress returns a context for calls to a store. Whenever a part of the response arrives,
// progress is called: a large response may take long although the store is reached.
func WithProgress(ctx context.Context, progress func()) context.Context {
	return context.WithValue(ctx, progressKey{}, progress)
}

// ProgressReader returns a reader that calls the context's progress function after each read with
// data, or r if there is none.
func ProgressReader(ctx context.Context, r io.Reader) io.Reader {
	if progress, ok := ctx.Value(progressKey{}).(func()); ok {
		return &progressReader{r: r, progress: progress}
	}
	return r
}

type progressReader struct {
	r        io.Reader
	progress func()
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.progress()
	}
	return n, err
}
