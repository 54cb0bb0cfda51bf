package main

import (
	"fmt"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccaerror"
)

// getCommand returns the command that fetches a URL and prints its body.
func getCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "get URL",
		Short: "Print the response body of a GET request; fail unless the status is 200",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			status, body, err := fasthttp.Get(nil, args[0])
			if err != nil {
				return yuccaerror.Wrap(yuccaerror.Unreachable, err)
			}
			fmt.Fprint(c.OutOrStdout(), string(body))
			if status != fasthttp.StatusOK {
				return yuccaerror.New(yuccaerror.Invalid, "server answered with status %d, want 200", status)
			}
			return nil
		},
	}
}

// postCommand returns the command that sends a body to a URL by POST.
func postCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "post URL BODY",
		Short:   "Send a body by POST; fail unless the status is 200",
		Example: "  yucca-standin post http://127.0.0.2:7900/faults '{\"down\":true}'",
		Args:    cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			var req fasthttp.Request
			var resp fasthttp.Response
			req.SetRequestURI(args[0])
			req.Header.SetMethod(fasthttp.MethodPost)
			req.SetBodyString(args[1])
			if err := fasthttp.Do(&req, &resp); err != nil {
				return yuccaerror.Wrap(yuccaerror.Unreachable, err)
			}
			if resp.StatusCode() != fasthttp.StatusOK {
				return yuccaerror.New(yuccaerror.Invalid, "server answered with status %d, want 200: %s", resp.StatusCode(), resp.Body())
			}
			return nil
		},
	}
}
