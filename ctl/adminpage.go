package main

import (
	"time"

	"github.com/valyala/fasthttp"

	"yuccawell.example/core/yuccahead"
)

// adminTimeout is the limit for a request to the admin address of an entry.
const adminTimeout = 2 * time.Second

// getAdminPage returns the status and the body of an admin page of an entry.
func getAdminPage(addr, path string) (status int, body []byte, err error) {
	client := &fasthttp.Client{Dial: yuccahead.Dial(fasthttp.Dial)}
	defer client.CloseIdleConnections()
	return client.GetTimeout(nil, "http://"+addr+path, adminTimeout)
}
