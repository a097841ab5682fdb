// Package kernel manages the services of a process: they are registered by name, started in the
// order of registration, find each other by name, and are stopped in the reverse order.
package kernel

import (
	"context"
	"errors"
	"fmt"
)

// Service is one part of a process.
type Service interface {
	// Start starts the service and returns once others may use it. Long work runs in the service's
	// own goroutines until Stop.
	Start(ctx context.Context, k *Kernel) error
	// Stop finishes the service's work and returns by the end of ctx.
	Stop(ctx context.Context) error
}

// Kernel holds the services of one process. Registration is not safe for concurrent use and must be
// done before [Kernel.Start].
type Kernel struct {
	names    []string
	services map[string]Service
	started  int
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{services: map[string]Service{}}
}

// Register adds a service under a name. It panics if the name is already registered, which is a
// programming error.
func (k *Kernel) Register(name string, s Service) {
	if _, ok := k.services[name]; ok {
		panic("kernel: service " + name + " is registered twice")
	}
	k.names = append(k.names, name)
	k.services[name] = s
}

// Start starts the services in order. If one fails, those started before it are stopped, and the
// error names the failed one.
func (k *Kernel) Start(ctx context.Context) (err error) {
	for _, n := range k.names {
		if err = k.services[n].Start(ctx, k); err != nil {
			err = fmt.Errorf("start service %s: %w", n, err)
			return errors.Join(err, k.Stop(ctx))
		}
		k.started++
	}
	return nil
}

// Stop stops the started services in reverse order. It continues after a failure and returns all
// errors.
func (k *Kernel) Stop(ctx context.Context) (err error) {
	for ; k.started > 0; k.started-- {
		n := k.names[k.started-1]
		if e := k.services[n].Stop(ctx); e != nil {
			err = errors.Join(err, fmt.Errorf("stop service %s: %w", n, e))
		}
	}
	return err
}

// Names returns the names of all services in the order in which they are started.
func (k *Kernel) Names() []string {
	return append([]string(nil), k.names...)
}

// Find returns the service with the given name as a T. Its error says whether there is none or
// whether it has another type.
func Find[T any](k *Kernel, name string) (t T, err error) {
	s, ok := k.services[name]
	if !ok {
		return t, fmt.Errorf("kernel: no service %q", name)
	}
	t, ok = s.(T)
	if !ok {
		return t, fmt.Errorf("kernel: service %q is a %T", name, s)
	}
	return t, nil
}
