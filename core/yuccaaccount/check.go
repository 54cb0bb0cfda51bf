package yuccaaccount

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

const (
	// MaxKeys is the largest number of keys of all accounts together.
	MaxKeys = 1_000_000
	// maxNameBytes is the length of the longest name, in bytes. Each request of the
	// account carries its name in the header.
	maxNameBytes = 1024
)

// Check returns an error that describes the first invalid value of the accounts. It
// names accounts, never keys.
func Check(accounts []Account) error {
	names := make(map[string]bool, len(accounts))
	keys := 0
	for _, a := range accounts {
		if names[a.Name] {
			return fmt.Errorf("two accounts are named %q", a.Name)
		}
		names[a.Name] = true
		if err := a.check(); err != nil {
			return fmt.Errorf("account %q: %w", a.Name, err)
		}
		if keys += len(a.Digests); keys > MaxKeys {
			return fmt.Errorf("more than %d keys", MaxKeys)
		}
	}
	return checkOwners(accounts, keys)
}

// checkOwners returns an error if two accounts have the same key.
func checkOwners(accounts []Account, keys int) error {
	owners := make(map[Digest]int, keys)
	for i, a := range accounts {
		for _, d := range a.Digests {
			if owner, ok := owners[d]; ok && owner != i {
				return fmt.Errorf("accounts %q and %q have the same key", accounts[owner].Name, a.Name)
			}
			owners[d] = i
		}
	}
	return nil
}

func (a Account) check() error {
	switch {
	case a.Name == "":
		return fmt.Errorf("name is empty")
	case len(a.Name) > maxNameBytes:
		return fmt.Errorf("name is longer than %d bytes", maxNameBytes)
	case !isFieldValue(a.Name):
		return fmt.Errorf("name is not a valid value of a header field")
	case slices.Contains(a.Digests, DigestOf(nil)):
		return fmt.Errorf("a key is empty")
	case !isRate(a.Quota.Rate):
		return fmt.Errorf("rate %v is not a finite number of at least 0", a.Quota.Rate)
	case !isRate(a.Quota.Burst):
		return fmt.Errorf("burst %v is not a finite number of at least 0", a.Quota.Burst)
	}
	return nil
}

func isRate(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// isFieldValue reports whether a text may be the value of an HTTP header field as it is:
// without control characters, and without spaces at its ends, which receivers remove.
func isFieldValue(text string) bool {
	return strings.Trim(text, " \t") == text && !strings.ContainsFunc(text, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f })
}

// containsAll reports whether all contains each of some.
func containsAll(all, some []string) bool {
	for _, v := range some {
		if !slices.Contains(all, v) {
			return false
		}
	}
	return true
}
