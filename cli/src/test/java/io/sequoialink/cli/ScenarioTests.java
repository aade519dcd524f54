package io.sequoialink.cli;

import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/**
 * Runs all Cucumber feature files of the package {@code scenarios}.
 */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("io.sequoialink.cli.scenarios")
class ScenarioTests {

}
