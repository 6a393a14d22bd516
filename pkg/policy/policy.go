// Package policy registers every policy plug-in of the packages below it. Processes
// import it only for this side effect and create policies by name from the
// registries of package spool.
package policy

import (
	// Each import registers the policies of one kind.
	_ "github.com/baobabspool/baobabspool/pkg/policy/gate"
	_ "github.com/baobabspool/baobabspool/pkg/policy/order"
	_ "github.com/baobabspool/baobabspool/pkg/policy/pause"
	_ "github.com/baobabspool/baobabspool/pkg/policy/retry"
	_ "github.com/baobabspool/baobabspool/pkg/policy/routing"
)
