package yuccarelay_test

import (
	"yuccawell.example/core/yuccablock"
	"yuccawell.example/core/yuccarule"
)

func tableOf(rules yuccarule.Rules) yuccablock.Table { return yuccablock.New(rules, "a") }
