package yuccarelay_test

import (
	"yuccawell.example/core/yuccalocator"
	"yuccawell.example/core/yuccarule"
)

func tableOf(rules yuccarule.Rules) yuccalocator.Table { return yuccalocator.New(rules, "a") }
