package yuccaliveness

import "yuccawell.example/core/yuccacapacity"

// encodeCapacity returns the message of a capacity, nil if it is not known.
func encodeCapacity(c yuccacapacity.Capacity) *Capacity {
	if !c.Known() {
		return nil
	}
	return &Capacity{Cores: c.Cores, Megabits: c.Megabits, Megabytes: c.Megabytes}
}

func decodeCapacity(m *Capacity) yuccacapacity.Capacity {
	return yuccacapacity.Capacity{Cores: m.GetCores(), Megabits: m.GetMegabits(), Megabytes: m.GetMegabytes()}
}

func encodeUtilization(u yuccacapacity.Utilization) *Utilization {
	return &Utilization{Rate: u.Rate, Cores: u.Cores, Megabits: u.Megabits, Saturated: u.Saturated}
}

func decodeUtilization(m *Utilization) yuccacapacity.Utilization {
	return yuccacapacity.Utilization{Rate: m.GetRate(), Cores: m.GetCores(), Megabits: m.GetMegabits(), Saturated: m.GetSaturated()}
}
