package yuccarelay

import (
	"time"

	"yuccawell.example/core/yuccaaccount"
	"yuccawell.example/core/yuccaerror"
)

// Quota bounds the requests that all entries together admit for each account.
type Quota interface {
	// Take takes a token for a request of an account. The error is of kind
	// QuotaExceeded and says when a retry may succeed.
	Take(now time.Time, account string) error
	// Return gives back a token of a request that has not run.
	Return(account string)
}

// identify finds the caller's account, and the regions in which its request may run on
// the route.
func (t *task) identify() error {
	t.regions = t.route.Regions
	if t.accounts == nil {
		return nil
	}
	key := t.relay.opt.Protocol.Credential(&t.ctx.Request.Header)
	account, ok := t.accounts.Find(key)
	switch {
	case ok:
		t.account = account
	case !t.route.Anonymous:
		return unknownKeyError(t.accounts, key)
	}
	if t.regions, ok = t.account.RegionsWith(t.route.Regions); !ok {
		return yuccaerror.New(yuccaerror.NoServer, "route %q and account %q have no region in common", t.route.Name, t.account.Name)
	}
	return nil
}

// unknownKeyError returns the error for a key that belongs to no account. It says why
// without the key.
func unknownKeyError(accounts *yuccaaccount.Directory, key []byte) error {
	if len(key) == 0 {
		return yuccaerror.New(yuccaerror.Unauthorized, "no key")
	}
	if version, ok := accounts.Revoked(key); ok {
		return yuccaerror.New(yuccaerror.Unauthorized, "key revoked in version %d", version)
	}
	return yuccaerror.New(yuccaerror.Unauthorized, "unknown key")
}

// accountName returns the name of the caller's account, empty if it has none.
func (t *task) accountName() string {
	if t.account == nil {
		return ""
	}
	return t.account.Name
}

// takeToken takes a token of the account's quota.
func (t *task) takeToken() error {
	if t.account == nil || t.relay.opt.Quota == nil {
		return nil
	}
	if err := t.relay.opt.Quota.Take(time.Now(), t.account.Name); err != nil {
		return err
	}
	t.tokenTaken = true
	return nil
}

// returnToken gives the token back at the end of a request that has not run.
func (t *task) returnToken() {
	if t.tokenTaken && !t.mayHaveRun() {
		t.relay.opt.Quota.Return(t.account.Name)
	}
	t.tokenTaken = false
}
