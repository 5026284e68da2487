// Package declarer defines the fleet configuration that operators declare:
// organisations with their budgets, models, services, targets and objectives.
//
// # Usage
//
//	fleet, err := declarer.Decode(document)
//	for _, fault := range declarer.Check(fleet) {
//		fmt.Println(fault)
//	}
//
// A declaration is a TOML file kept in version control. Package patcher commits
// it as a numbered version.
package declarer
