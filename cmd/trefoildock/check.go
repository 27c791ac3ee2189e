package main

// checkCmd validates a rules file.
type checkCmd struct {
	File string `arg:"" help:"Rules file, or - for standard input."`
}

// checkResult is the JSON output of the command.
type checkResult struct {
	File  string `json:"file"`
	Rules int    `json:"rules"`
}

// Run executes the command.
func (c *checkCmd) Run(a *app) error {
	file, config, err := a.readRules(c.File)
	if err != nil {
		return err
	}
	result := checkResult{File: file.Name, Rules: len(config.Lines())}
	if a.JSON {
		writeJSON(a.stdout, result)
		return nil
	}
	a.printf("%s: %d rules, no faults\n", result.File, result.Rules)
	return nil
}
