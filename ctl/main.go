// Command yuccactl is how operators check and apply rules and see what they do.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"yuccawell.example/core/yuccaerror"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(yuccaerror.KindOf(err).Attributes().Exit)
}
