package io.sequoialink.cli;

import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/**
 * Runs every feature file beside this class.
 */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("io.sequoialink.cli.scenarios")
class ScenarioTests {

}
