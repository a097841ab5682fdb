// Package kernel is the micro-kernel of a process: services are registered by
// name, started in the order in which they were registered, find each other by
// name, and are stopped in the reverse order.
package kernel

import (
	"context"
	"errors"
	"fmt"
)

// Service is one part of a process.
type Service interface {
	// Start brings the service up. It returns once others may use it; long
	// work goes on in goroutines of the service's own until Stop.
	Start(ctx context.Context, k *Kernel) error
	// Stop finishes what the service holds, and returns by the end of ctx.
	Stop(ctx context.Context) error
}

// Kernel holds the services of one process. Registration is not safe for
// concurrent use; it is done before [Kernel.Start].
type Kernel struct {
	names    []string
	services map[string]Service
	started  int
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{services: map[string]Service{}}
}

// Register adds a service under a name. It panics if the name is taken, which
// is a mistake in the program.
func (k *Kernel) Register(name string, s Service) {
	if _, ok := k.services[name]; ok {
		panic("kernel: service " + name + " is registered twice")
	}
	k.names = append(k.names, name)
	k.services[name] = s
}

// Start starts the services in order. If one fails, those before it are
// stopped again and the error says which it was.
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

// Stop stops the started services in reverse order. It goes on when one fails,
// and returns all errors.
func (k *Kernel) Stop(ctx context.Context) (err error) {
	for ; k.started > 0; k.started-- {
		n := k.names[k.started-1]
		if e := k.services[n].Stop(ctx); e != nil {
			err = errors.Join(err, fmt.Errorf("stop service %s: %w", n, e))
		}
	}
	return err
}

// Names returns the names of all services in their order of start.
func (k *Kernel) Names() []string {
	return append([]string(nil), k.names...)
}

// Find returns the service with the given name as a T. Its error says whether
// there is none or whether it is of another type.
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
