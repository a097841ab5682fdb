package kernel_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/kernel"
)

// noisy tells when it is started and stopped.
type noisy struct {
	name  string
	fail  bool
	calls *[]string
}

func (n noisy) Start(context.Context, *kernel.Kernel) error {
	*n.calls = append(*n.calls, "start "+n.name)
	if n.fail {
		return errors.New("broken")
	}
	return nil
}

func (n noisy) Stop(context.Context) error {
	*n.calls = append(*n.calls, "stop "+n.name)
	return nil
}

func TestKernel(t *testing.T) {
	ctx := context.Background()
	t.Run("what was started is stopped when a later service fails", func(t *testing.T) {
		var calls []string
		k := kernel.New()
		k.Register("a", noisy{name: "a", calls: &calls})
		k.Register("b", noisy{name: "b", fail: true, calls: &calls})
		require.ErrorContains(t, k.Start(ctx), "start service b: broken")
		require.Equal(t, []string{"start a", "start b", "stop a"}, calls)
	})
	t.Run("a service is found by name and type", func(t *testing.T) {
		k := kernel.New()
		k.Register("a", noisy{name: "a"})
		n, err := kernel.Find[noisy](k, "a")
		require.NoError(t, err)
		require.Equal(t, "a", n.name)
		_, err = kernel.Find[noisy](k, "b")
		require.Error(t, err)
		_, err = kernel.Find[*noisy](k, "a")
		require.Error(t, err)
	})
}

func ExampleKernel() {
	var calls []string
	k := kernel.New()
	k.Register("log", noisy{name: "log", calls: &calls})
	k.Register("server", noisy{name: "server", calls: &calls})
	ctx := context.Background()
	if err := k.Start(ctx); err != nil {
		fmt.Println(err)
	}
	if err := k.Stop(ctx); err != nil {
		fmt.Println(err)
	}
	fmt.Println(calls)
	// Output:
	// [start log start server stop server stop log]
}
