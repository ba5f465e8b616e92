package call

import (
	"fmt"

	"cherryrelay/internal/settings"
)

// Reconfigure gives the core and its module other settings; with an error, nothing changes. Calls keep the class they came with.
func (c *Core) Reconfigure(s *settings.Settings) error {
	decisions, err := s.ControlSettings()
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.stepModule() // set-ups that have come already name their class by its place in the old settings
	if err := c.module.UpdateSettings(c.selection.scaleSettings(decisions)); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.decisions = decisions
	c.registerClasses()
	return nil
}

// CountReload counts a configuration that was taken or turned down.
func (c *Core) CountReload(taken bool) {
	if taken {
		c.metrics.ReloadsOK++
	} else {
		c.metrics.ReloadsFailed++
	}
}
