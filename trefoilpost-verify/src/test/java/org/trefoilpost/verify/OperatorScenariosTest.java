package org.trefoilpost.verify;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;
import static io.cucumber.junit.platform.engine.Constants.PLUGIN_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/**
 * Runs the features of operators over real processes.
 */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features/configuration.feature")
@SelectClasspathResource("features/leaving.feature")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.trefoilpost.verify.steps")
@ConfigurationParameter(key = PLUGIN_PROPERTY_NAME, value = "pretty")
class OperatorScenariosTest {}
