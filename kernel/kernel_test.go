package kernel_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/kernel"
)

// recordingService records when it is started and stopped.
type recordingService struct {
	name  string
	fail  bool
	calls *[]string
}

func (n recordingService) Start(context.Context, *kernel.Kernel) error {
	*n.calls = append(*n.calls, "start "+n.name)
	if n.fail {
		return errors.New("broken")
	}
	return nil
}

func (n recordingService) Stop(context.Context) error {
	*n.calls = append(*n.calls, "stop "+n.name)
	return nil
}

func TestKernel(t *testing.T) {
	ctx := context.Background()
	t.Run("what was started is stopped when a later service fails", func(t *testing.T) {
		var calls []string
		k := kernel.New()
		k.Register("a", recordingService{name: "a", calls: &calls})
		k.Register("b", recordingService{name: "b", fail: true, calls: &calls})
		require.ErrorContains(t, k.Start(ctx), "start service b: broken")
		require.Equal(t, []string{"start a", "start b", "stop a"}, calls)
	})
	t.Run("a service is found by name and type", func(t *testing.T) {
		k := kernel.New()
		k.Register("a", recordingService{name: "a"})
		n, err := kernel.Find[recordingService](k, "a")
		require.NoError(t, err)
		require.Equal(t, "a", n.name)
		_, err = kernel.Find[recordingService](k, "b")
		require.Error(t, err)
		_, err = kernel.Find[*recordingService](k, "a")
		require.Error(t, err)
	})
}

func ExampleKernel() {
	var calls []string
	k := kernel.New()
	k.Register("log", recordingService{name: "log", calls: &calls})
	k.Register("server", recordingService{name: "server", calls: &calls})
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
