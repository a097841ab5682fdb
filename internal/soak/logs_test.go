package soak

import (
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	logStream                    = 7 // of the random numbers of a seed
	pipedEvery                   = 2 // one in so many seeds has pipes as logs
	minLogLossGap, maxLogLossGap = 500 * time.Millisecond, 4 * time.Second
	silentLogShare               = 3 // one in so many losses leaves a reader that reads nothing
)

// logsArePiped reports whether the logs of a seed's gateways are pipes.
func logsArePiped(seed uint64) bool {
	return seed%pipedEvery == 0
}

// newLogLosses generates the times at which gateways' logs have no reader.
func newLogLosses(seed uint64, length time.Duration) (ss []step) {
	if !logsArePiped(seed) {
		return nil
	}
	r := rand.New(rand.NewPCG(seed, logStream))
	span := func(least, most time.Duration) time.Duration {
		return least + time.Duration(r.Int64N(int64(most-least)))
	}
	for at := span(minLogLossGap, maxLogLossGap); at < length; at += span(minLogLossGap, maxLogLossGap) {
		ss = append(ss, step{at: at, duration: span(minFaultTime, maxFaultTime), kind: loseLog, target: r.IntN(1000)})
	}
	return ss
}

// logPipe is a named pipe that a process writes its log to, with a reader that copies it to a file.
type logPipe struct {
	path string
	to   *os.File

	mu     sync.Mutex
	reader *os.File // nil while there is none
	copied sync.WaitGroup
}

// openLogPipe makes a pipe with a reader and returns it with the end for the process.
func (w *world) openLogPipe(g *gateway, to *os.File) (p *logPipe, writer *os.File, err error) {
	p = &logPipe{path: filepath.Join(w.logs, g.name+".pipe"), to: to}
	_ = os.Remove(p.path) // that of an earlier process
	if err = syscall.Mkfifo(p.path, 0o600); err != nil {
		return nil, nil, err
	}
	if err = p.open(); err != nil {
		return nil, nil, err
	}
	writer, err = os.OpenFile(p.path, os.O_WRONLY, 0)
	return p, writer, err
}

// open opens the reader.
func (p *logPipe) open() (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reader, err = os.OpenFile(p.path, os.O_RDONLY|syscall.O_NONBLOCK, 0); err != nil {
		return err
	}
	p.copyFrom(p.reader)
	return nil
}

// copyFrom copies what the process writes until the reader is closed or the process has ended.
func (p *logPipe) copyFrom(r *os.File) {
	p.copied.Go(func() { _, _ = io.Copy(p.to, r) })
}

// lose leaves the pipe without a reader, or with one that reads nothing, for a while.
func (p *logPipe) lose(d time.Duration, silent bool) error {
	p.mu.Lock()
	r := p.reader
	p.reader = nil
	p.mu.Unlock()
	if r == nil {
		return nil
	}
	if silent {
		_ = r.SetReadDeadline(time.Unix(1, 0))
		time.Sleep(d)
		_ = r.SetReadDeadline(time.Time{})
		p.mu.Lock()
		defer p.mu.Unlock()
		p.reader = r
		p.copyFrom(r)
		return nil
	}
	err := r.Close()
	time.Sleep(d)
	return errors.Join(err, p.open())
}

// end waits until all that an ended process has written is copied.
func (p *logPipe) end() {
	p.copied.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reader != nil {
		_ = p.reader.Close()
		p.reader = nil
	}
}

// loseLog takes the reader of a gateway's log away for a while.
func (w *world) loseLog(g *gateway, s step) {
	g.mu.Lock()
	p := g.log
	g.mu.Unlock()
	if p != nil {
		require.NoError(w.t, p.lose(s.duration, s.target%silentLogShare == 0))
	}
}
