package yuccarelay_test

import (
	"yuccawell.example/core/yuccalocator"
	"yuccawell.example/core/yuccarule"
)

// newLocatorTable returns the locator table of an entry in region a.
func newLocatorTable(rules yuccarule.Rules) yuccalocator.Table { return yuccalocator.New(rules, "a") }
