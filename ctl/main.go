// Command yuccactl is the operators' command-line tool. It checks rules files and
// applies them, forecasts their effects, and shows the state of the entries (the
// proxy instances of the system), the use of error budgets and what happened to a
// request.
//
// A change of the rules looks like this:
//
//	yuccactl show > rules.txt
//	vi rules.txt
//	yuccactl plan rules.txt
//	yuccactl apply rules.txt --wait
package main

import "yuccawell.example/core/yuccacommand"

func main() {
	yuccacommand.Main(newCommand())
}
