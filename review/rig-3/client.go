package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// resolve asks the directory of a running entry which entries to use, as clients do.
func (r *rig) resolve(zone string) ([]string, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range rand.Perm(len(r.entries)) {
		query := url.Values{"name": {r.host}, "region": {r.zones[zone]}, "zone": {zone}}
		resp, err := client.Get(fmt.Sprintf("http://%s%s/resolution?%s", r.entries[i].at(directoryPort), names.path, query.Encode()))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses, nil
		}
	}
	return nil, errors.New("no entry answers a look-up")
}

// request is one client attempt.
type request struct {
	method, path, key, label string
	timeout                  time.Duration
}

// send sends a request to one of the entries that the directory names, on a new connection,
// and returns the status, 0 if there was no answer.
func (r *rig) send(q request) int {
	zone := r.zoneNames[rand.IntN(len(r.zoneNames))]
	addresses, err := r.resolve(zone)
	if err != nil {
		r.record("%s: %v", q.label, err)
		return 0
	}
	addr := addresses[rand.IntN(len(addresses))]
	id := strconv.FormatUint(rand.Uint64(), 16)
	r.sentBy(id, addr)
	req, err := http.NewRequest(q.method, "http://"+addr+q.path, nil)
	if err != nil {
		return 0
	}
	req.Host = r.host
	req.Header.Set(field("Attempt-Id"), id)
	req.Header.Set(field("Time-Remaining"), strconv.FormatInt(q.timeout.Milliseconds(), 10))
	if q.key != "" {
		req.Header.Set(field("Credential"), q.key)
	}
	if q.label != "" {
		r.record("%s: request %s %s %s is sent to %s", q.label, id, q.method, q.path, r.nameOf(addr))
	}
	client := http.Client{Timeout: q.timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		if q.label != "" {
			r.record("%s: request %s ends without an answer: %v", q.label, id, err)
		}
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if q.label != "" {
		r.record("%s: request %s gets %d", q.label, id, resp.StatusCode)
	}
	return resp.StatusCode
}
